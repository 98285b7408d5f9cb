package coordinator

// KnowsMovedQueues reports whether the entry knows of a queue that has taken the place of another one.
func (c *Coordinator) KnowsMovedQueues() bool {
	c.queueHistory.mu.Lock()
	defer c.queueHistory.mu.Unlock()
	return len(c.queueHistory.former) > 0
}

// Owns reports whether the entry owns a partition of the service.
func (c *Coordinator) Owns(service string) bool {
	for _, partition := range c.shards.partitionsOfService(service) {
		if c.localOwner(partition) != nil {
			return true
		}
	}
	return false
}
