//! The leader of a failure domain: from planned moves to orders whose outcome is known.
