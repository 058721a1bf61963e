//! Retries and hedging by verdict, within a budget.
