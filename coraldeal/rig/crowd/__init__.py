"""Many nodes at one discovery that works through calls in turn: who is told late, and by how many calls."""
