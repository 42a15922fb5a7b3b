/*
Package observe is what an entry host tells about itself: numbered log events,
histograms and counters per team, and broken invariants.

# Usage

	measures := observe.Measures{}
	measures.Answered("greenfield", 12*time.Millisecond)
	log := observe.Log{
		Logger: logger,
	}
	log.Write(observe.TableInForce, zap.Uint64("version", 7))
*/
package observe
