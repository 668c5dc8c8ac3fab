"""The records kept in the state service, a local copy of them, and the queue that writes them."""
