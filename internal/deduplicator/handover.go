package deduplicator

import "context"

// Limits of the records that a message carries.
const (
	maxBatchRecords = 1024
	maxBatchBytes   = 1 << 20
)

// HandOver sends this owner's records to the other owners of their ids before a planned stop. It tries to send all
// records and returns the first error.
func (v *Service) HandOver(ctx context.Context) error {
	var firstError error
	v.store.table.each(v.options.Clock.Now(), func(records []Record) {
		batches := make(map[string][]Record)
		sizes := make(map[string]int)
		send := func(name string) {
			arguments := CompleteArguments{Format: Format, Records: batches[name]}
			if err := v.call(ctx, name, "Deduplicator.Complete", &arguments, &Empty{}); err != nil && firstError == nil {
				firstError = err
			}
			delete(batches, name)
			delete(sizes, name)
		}
		for i := range records {
			for _, name := range v.otherOwners(&records[i]) {
				batches[name] = append(batches[name], records[i])
				sizes[name] += recordSize(&records[i])
				if len(batches[name]) == maxBatchRecords || sizes[name] > maxBatchBytes {
					send(name)
				}
			}
		}
		for name := range batches {
			send(name)
		}
	})
	if firstError == nil {
		firstError = ctx.Err()
	}
	return firstError
}

// otherOwners returns the owners of a claimed or finished id except this node.
func (v *Service) otherOwners(r *Record) []string {
	if r.State <= StateReleased {
		return nil
	}
	names := v.owners(r.ID, r.Account, r.Call)
	others := names[:0]
	for _, name := range names {
		if name != v.options.Name {
			others = append(others, name)
		}
	}
	return others
}

// recordSize estimates the encoded size of a record in bytes.
func recordSize(r *Record) int {
	size := 256
	if r.Answer != nil {
		size += MaxCopyBytes
	}
	return size
}
