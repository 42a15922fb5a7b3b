/*
Package observe provides the logs and metrics of an entry host: the catalogue of
numbered log events, histograms and counters by team and by route, and the count of
violated invariants. It is called while requests are handled; [AsyncWriter] keeps a
slow log output from delaying them.

# Usage

	metrics := observe.Metrics{}
	metrics.RecordLatency("greenfield", 12*time.Millisecond)
	log := observe.Log{
		Logger: logger,
	}
	log.Write(observe.TableApplied, zap.Uint64("version", 7))
*/
package observe
