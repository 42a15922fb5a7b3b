package header

// FleetSecret carries the secret that all entry hosts, the fleet, share. It
// authenticates requests that entry hosts send to each other, and requests of
// operators. Callers never send it.
const FleetSecret = "Trefoilline-Fleet-Secret"
