"""The adapter that connects the decisions of coraldeal.balance to the operators' simulator."""
