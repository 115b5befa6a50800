// Package memorybudget bounds the memory that the peers of a node make it hold: what they send, and what is decoded from
// it.
//
// Each read whose size the other side decides reserves its bytes before it allocates them. A Budget is shared by all
// connections. It never waits: what doesn't fit is refused with an *ExceededError, and the caller ends the connection. A
// peer has an Account, by which a fair budget keeps one peer from using it up: an account may hold at most as much as it
// leaves free, so that a peer gets at most half of what the others don't hold.
//
// A Reservation holds the bytes of one read. A Hold keeps the reservations of a request until the request ends. The
// package also has the bounded reads themselves: ReadBody, LineReader and HeadReader.
package memorybudget

import (
	"net"
	"sync"
)

// Kind is a kind of peer.
type Kind string

// The kinds of peers. Their names are labels of metrics.
const (
	Leaf     Kind = "leaf"
	Caller   Kind = "caller"
	Node     Kind = "node"
	Store    Kind = "store"
	Operator Kind = "operator"
)

// OnRefused is called with the kind of each peer whose bytes were refused; it may be nil. It must not block.
type OnRefused func(Kind)

// Budget is memory that peers share. It is safe for concurrent use. A nil budget is unlimited.
type Budget struct {
	limit int64
	// isFair says that an account may hold at most as much as it leaves free.
	isFair    bool
	onRefused OnRefused

	mu       sync.Mutex
	held     int64
	accounts map[accountKey]*Account
}

// accountKey identifies a peer.
type accountKey struct {
	kind Kind
	peer string
}

// Account is what one peer holds of a budget. A nil account is unlimited.
type Account struct {
	budget *Budget
	key    accountKey

	// The fields below are guarded by the budget's mu.

	held int64
	// users is how often the account is open.
	users int
}

// Open opens the account of a peer. It must be closed, after which its reservations remain valid.
func (b *Budget) Open(kind Kind, peer string) *Account {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	key := accountKey{kind: kind, peer: peer}
	account, found := b.accounts[key]
	if !found {
		account = &Account{budget: b, key: key}
		if b.accounts == nil {
			b.accounts = map[accountKey]*Account{}
		}
		b.accounts[key] = account
	}
	account.users++
	return account
}

// OpenHost opens the account of the peer with a network address, without its port, which differs between connections.
func (b *Budget) OpenHost(kind Kind, address string) *Account {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return b.Open(kind, host)
}

// Close reverses one Open. An account that is no longer open is forgotten once nothing is held of it.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.users--
	a.forgetUnused()
}

// forgetUnused removes an account that is neither open nor holds anything. The budget's mu must be held.
func (a *Account) forgetUnused() {
	if a.users <= 0 && a.held == 0 && a.budget.accounts[a.key] == a {
		delete(a.budget.accounts, a.key)
	}
}

// Held returns the bytes that all peers hold.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Limit returns the bytes that all peers may hold; 0 if the budget is unlimited.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// take adds bytes to the account, or returns an *ExceededError.
func (a *Account) take(bytes int64) error {
	b := a.budget
	b.mu.Lock()
	held := a.held + bytes
	free := b.limit - b.held - bytes
	fits := free >= 0 && (!b.isFair || held <= free)
	if fits {
		a.held, b.held = held, b.held+bytes
	}
	b.mu.Unlock()
	if fits {
		return nil
	}
	if b.onRefused != nil {
		b.onRefused(a.key.kind)
	}
	return &ExceededError{Kind: a.key.kind, Bytes: bytes, Held: held - bytes, Limit: b.limit}
}

// give reverses take.
func (a *Account) give(bytes int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.held -= bytes
	a.budget.held -= bytes
	a.forgetUnused()
}
