"""What is kept in the state service, and how it gets there."""
