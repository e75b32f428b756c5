"""The bench's wire before the decisions of coraldeal.balance."""
