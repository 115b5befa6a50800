package replay

// anySender stands for all senders to a leaf. The leaf's forwarder can't identify the node of a connection, so a leaf is cut
// off from all nodes or none.
const anySender = "*"

// setCut creates or heals a partition between two groups and applies the change to open connections.
func (c *cluster) setCut(between []string, cut bool) {
	c.mu.Lock()
	for _, first := range c.expandZone(between[0]) {
		for _, second := range c.expandZone(between[1]) {
			c.cuts[[2]string{first, second}] = cut
			c.cuts[[2]string{second, first}] = cut
			if _, isLeaf := c.leafs[second]; isLeaf {
				c.cuts[[2]string{anySender, second}] = cut
			}
			if _, isLeaf := c.leafs[first]; isLeaf {
				c.cuts[[2]string{anySender, first}] = cut
			}
		}
	}
	c.mu.Unlock()
	for _, node := range c.nodes {
		for _, fwd := range node.forwarders {
			fwd.Recheck()
		}
	}
	for _, proc := range c.leafs {
		proc.forwarder.Recheck()
	}
}

// expandZone returns the nodes of a zone, or the name itself if it isn't a zone.
func (c *cluster) expandZone(name string) []string {
	var names []string
	for id, node := range c.nodes {
		if node.spec.Zone == name {
			names = append(names, id)
		}
	}
	if len(names) == 0 {
		return []string{name}
	}
	return names
}

func (c *cluster) isCut(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts[[2]string{from, to}]
}

// nodeAt returns the node that advertises a peer address, or "".
func (c *cluster) nodeAt(address string) string {
	for id, node := range c.nodes {
		if node.advertisedAddress == address {
			return id
		}
	}
	return ""
}
