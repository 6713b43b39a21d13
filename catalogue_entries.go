package almondcross

// WithEntries returns a copy that also contains the given entries. It copies the map of entries once,
// whereas a call of WithEntry for each entry would copy it each time.
func (catalogue Catalogue) WithEntries(list []Entry) Catalogue {
	entries := catalogue.copyEntries()
	for _, entry := range list {
		entries[entry.name] = entry
	}
	catalogue.entries = entries
	return catalogue
}
