package cooldown

// Len returns the number of servers of which the table holds something.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.servers)
}
