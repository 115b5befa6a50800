package memorybudget

import "sync"

// Reservation is what one read holds of an account. It is used by one goroutine at a time. A nil reservation is unlimited.
type Reservation struct {
	account *Account
	bytes   int64
}

// Reserve returns an empty reservation of the account.
func (a *Account) Reserve() Reservation { return Reservation{account: a} }

// Grow reserves more bytes, or returns an *ExceededError and reserves nothing.
func (r *Reservation) Grow(bytes int64) error {
	if r == nil || r.account == nil || bytes <= 0 {
		return nil
	}
	if err := r.account.take(bytes); err != nil {
		return err
	}
	r.bytes += bytes
	return nil
}

// Shrink returns bytes, at most those that are reserved.
func (r *Reservation) Shrink(bytes int64) {
	if r == nil {
		return
	}
	bytes = min(bytes, r.bytes)
	if bytes <= 0 {
		return
	}
	r.bytes -= bytes
	r.account.give(bytes)
}

// Bytes returns how many bytes are reserved.
func (r *Reservation) Bytes() int64 { return r.bytes }

// Release returns all bytes. The reservation can be used again.
func (r *Reservation) Release() {
	if r != nil {
		r.Shrink(r.bytes)
	}
}

// Hold keeps the reservations of a request until the request ends. It is safe for concurrent use. The zero value is ready
// for use.
type Hold struct {
	mu           sync.Mutex
	reservations []Reservation
	released     bool
}

// Keep takes over a reservation, which is empty afterwards. It releases the reservation if the hold is nil or has been
// released: nobody uses its bytes then.
func (h *Hold) Keep(r *Reservation) {
	kept := *r
	r.bytes = 0
	if kept.bytes == 0 {
		return
	}
	if h != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.released {
			h.reservations = append(h.reservations, kept)
			return
		}
	}
	kept.Release()
}

// Release releases all reservations, and those that are kept later.
func (h *Hold) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	for index := range h.reservations {
		h.reservations[index].Release()
	}
	h.reservations = nil
}
