package header

// FleetSecret carries the shared secret that entry hosts and operators present to
// an entry host. Callers never send it.
const FleetSecret = "Trefoilline-Fleet-Secret"
