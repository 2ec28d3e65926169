package feed

// check compares an instance with the truth.
func (m *historyModel) check(i *modelInstance) {
	if i.f.Table() == nil {
		return
	}
	m.checkItems(i)
	m.checkAge(i)
	if version := i.f.Table().Version(); version < i.version {
		m.fatalf("instance %d: table went back from %d to %d", i.id, i.version, version)
	} else {
		i.version = version
	}
	m.checkConfirmation(i)
	m.checkServers(i)
}

// checkConfirmation checks that no table is confirmed as of a time at which a newer one had
// been acknowledged, even if the store has lost it.
func (m *historyModel) checkConfirmation(i *modelInstance) {
	age := i.f.confirmer.age()
	for _, p := range m.published {
		if age < maxConfirmedAge && p.at.Before(m.now.Add(-age)) && p.version > i.f.Table().Version() {
			m.fatalf("instance %d confirms table %d as of %v ago, but table %d was acknowledged %v ago", i.id, i.f.Table().Version(), age, p.version, m.now.Sub(p.at))
		}
	}
}

// checkListed checks that only listed servers are used once the time after a restore is over.
func (m *historyModel) checkListed(i *modelInstance) {
	for _, s := range i.f.directory.Servers("s") {
		if _, listed := i.f.cache.item("server/" + s.ID); !listed && !s.Leaving() {
			m.fatalf("instance %d uses %s, which is not listed, %v after it has read era %d", i.id, s.ID, m.now.Sub(i.eraSince), i.era)
		}
	}
}

// checkItems checks that an instance holds what the store held at its position. A full read
// may include later changes.
func (m *historyModel) checkItems(i *modelInstance) {
	era, revision := i.position()
	held, _, _ := i.f.cache.all()
	items := map[string]Item{}
	for _, item := range held.Items {
		items[item.Key] = item
	}
	for _, key := range modelKeys {
		matches := false
		for later := revision; !matches && later <= int64(len(m.store.eras[era-1])); later++ {
			truth, listed := m.store.at(era, later)[key]
			item, known := items[key]
			matches = listed == known && truth.Revision == item.Revision && string(truth.Value) == string(item.Value)
		}
		if !matches {
			m.fatalf("instance %d at %d/%d holds %q = %q (%d), the store held %q (%d)", i.id, era, revision, key, items[key].Value, items[key].Revision,
				m.store.at(era, revision)[key].Value, m.store.at(era, revision)[key].Revision)
		}
	}
}

// checkAge checks that the view includes all changes up to the time that its age states.
func (m *historyModel) checkAge(i *modelInstance) {
	era, revision := i.position()
	asOf := m.now.Add(-i.f.Age())
	for _, w := range m.writeAt {
		if w.at.Before(asOf) && (w.era > era || w.era == era && w.revision > revision) {
			m.fatalf("instance %d at %d/%d states an age of %v, but lacks %d/%d, written %v ago", i.id, era, revision, i.f.Age(), w.era, w.revision, m.now.Sub(w.at))
		}
	}
}

// checkServers checks that no run of a server that the instance has seen leaving is used again
// unless the run has written again. Its entry in a copy may then be an older one.
func (m *historyModel) checkServers(i *modelInstance) {
	staying := map[string]int{}
	for _, s := range i.f.directory.Servers("s") {
		if s.Leaving() {
			continue
		}
		staying[s.Key()] = s.Capacity
		if left, gone := i.gone[s.Key()]; gone && s.Capacity <= left && m.lastLive[s.Started] <= left {
			m.fatalf("instance %d uses %s by write %d, but had seen it leave after write %d", i.id, s.Key(), s.Capacity, left)
		}
		delete(i.gone, s.Key()) // it has written again
	}
	for key, write := range i.staying {
		if _, stays := staying[key]; !stays {
			i.gone[key] = write
		}
	}
	i.staying = staying
}
