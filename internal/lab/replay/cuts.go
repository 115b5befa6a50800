package replay

// anySender stands for all senders to a leaf: its forwarder can't tell the node of a connection, so that a leaf is cut
// off from all or none.
const anySender = "*"

// setCut makes or heals a cut between two groups, and applies it to open connections.
func (c *cluster) setCut(between []string, cut bool) {
	c.mutex.Lock()
	for _, first := range c.expand(between[0]) {
		for _, second := range c.expand(between[1]) {
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
	c.mutex.Unlock()
	for _, node := range c.nodes {
		for _, passing := range node.forwarders {
			passing.Recheck()
		}
	}
	for _, served := range c.leafs {
		served.forwarder.Recheck()
	}
}

// expand returns the nodes of a zone, or the name itself if it is no zone.
func (c *cluster) expand(name string) []string {
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
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cuts[[2]string{from, to}]
}

// nodeAt returns the node that advertises a peer address, or "".
func (c *cluster) nodeAt(address string) string {
	for id, node := range c.nodes {
		if node.advertised == address {
			return id
		}
	}
	return ""
}
