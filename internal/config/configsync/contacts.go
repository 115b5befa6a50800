package configsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/fleet/machines"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// contactsPerZone is how many contacts a node keeps for each other zone.
const contactsPerZone = 3

// contactInterval is how often watchers replace their contacts in other zones.
const contactInterval = time.Minute

// contactLoop replaces the contacts of watchers with a few nodes of each other zone from the machine list. Other nodes
// get their contacts when they join. The first replacement doesn't wait for contactInterval.
func (s *Syncer) contactLoop(ctx context.Context) {
	wait := s.cfg.MachineListInterval
	for pause(ctx, wait) {
		if s.rank() == notAWatcher {
			continue
		}
		list, err := s.listMachines(ctx, machines.Query{Role: machines.RoleNode, MaxPerZone: contactsPerZone})
		if err != nil {
			continue
		}
		wait = contactInterval
		s.replaceContacts(list)
	}
}

// replaceContacts replaces the contacts in each zone on the list. Contacts in zones that are not listed are kept, since
// the list may lag.
func (s *Syncer) replaceContacts(list machines.List) {
	own := s.members.Self().Zone
	byZone := map[string][]string{}
	for _, machine := range list.Machines {
		if machine.Zone != own && machine.State == machines.Live {
			byZone[machine.Zone] = append(byZone[machine.Zone], machine.Address)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for zone, addresses := range byZone {
		s.contacts[zone] = addresses
	}
}

func (s *Syncer) listMachines(ctx context.Context, query machines.Query) (machines.List, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.WatchSilence)
	defer cancel()
	return s.machines.ListMachines(ctx, query)
}

// Contacts returns the known nodes of other zones.
func (s *Syncer) Contacts() []peer.Contact {
	s.mu.Lock()
	defer s.mu.Unlock()
	var contacts []peer.Contact
	for zone, addresses := range s.contacts {
		for _, address := range addresses {
			contacts = append(contacts, peer.Contact{Zone: zone, Address: address})
		}
	}
	return contacts
}

func (s *Syncer) addContacts(contacts []peer.Contact) {
	own := s.members.Self().Zone
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, contact := range contacts {
		known := s.contacts[contact.Zone]
		if contact.Zone == own || len(known) >= contactsPerZone || slices.Contains(known, contact.Address) {
			continue
		}
		s.contacts[contact.Zone] = append(known, contact.Address)
	}
}

func (s *Syncer) randomContact() (string, bool) {
	contacts := s.Contacts()
	if len(contacts) == 0 {
		return "", false
	}
	return contacts[rand.IntN(len(contacts))].Address, true
}
