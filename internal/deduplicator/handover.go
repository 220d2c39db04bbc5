package deduplicator

import "context"

// Limits of a message that carries records.
const (
	largestBatch      = 1024
	largestBatchBytes = 1 << 20
)

// HandOver sends this owner's records to the other owners of their ids before a planned stop. It returns the first
// error, after it tried all records.
func (v *Service) HandOver(ctx context.Context) error {
	var first error
	v.store.table.each(v.options.Clock.Now(), func(records []Record) {
		batches := make(map[string][]Record)
		sizes := make(map[string]int)
		send := func(name string) {
			arguments := CompleteArguments{Format: Format, Records: batches[name]}
			if err := v.call(ctx, name, "Deduplicator.Complete", &arguments, &Empty{}); err != nil && first == nil {
				first = err
			}
			delete(batches, name)
			delete(sizes, name)
		}
		for i := range records {
			for _, name := range v.others(&records[i]) {
				batches[name] = append(batches[name], records[i])
				sizes[name] += recordSize(&records[i])
				if len(batches[name]) == largestBatch || sizes[name] > largestBatchBytes {
					send(name)
				}
			}
		}
		for name := range batches {
			send(name)
		}
	})
	if first == nil {
		first = ctx.Err()
	}
	return first
}

// others returns the owners of a claimed or finished id besides this node.
func (v *Service) others(r *Record) []string {
	if r.State <= StateReleased {
		return nil
	}
	names := v.owners(r.ID, r.Account, r.Call)
	kept := names[:0]
	for _, name := range names {
		if name != v.options.Name {
			kept = append(kept, name)
		}
	}
	return kept
}

// recordSize estimates the encoded size of a record in bytes.
func recordSize(r *Record) int {
	size := 256
	if r.Answer != nil {
		size += MaxCopyBytes
	}
	return size
}
