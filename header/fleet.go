package header

// FleetSecret carries what entry hosts and operators show each other. Callers
// never send it.
const FleetSecret = "Trefoilline-Fleet-Secret"
