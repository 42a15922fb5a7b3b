/*
Package observe provides the logs and metrics of an entry host: the catalogue of
numbered log events; histograms, counters and gauges, some by team or by route; and the
number of violated invariants that the rest of the program reports. It is called while requests are handled; [AsyncWriter] keeps a
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
