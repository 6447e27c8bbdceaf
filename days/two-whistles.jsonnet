// Two final whistles, two seconds apart, on titles that three boxes hold each.
local common = import 'common.libsonnet';
common {
  seed: 1,
  lengthMs: 40000,
  tailMs: 5000,
  byteScale: 0.02,
  fronts: 4,
  boxes: {
    count: 18, racks: 3, places: 24, linkKb: 6600, linkSpread: 0.2, uplinkShare: 0.68, uplinkSpread: 0.2,
    setUpMs: 40, coldMs: 6000, coldShare: 0.5,
  },
  titles: { count: 30, zipf: 0.8, copies: [3, 3] },
  arrivals: { perS: 4 },
  flashes: [
    { atMs: 12000, perS: 80, fadeMs: 3000, title: 0 },
    { atMs: 14000, perS: 80, fadeMs: 3000, title: 1 },
  ],
  viewers: { doubles: 0.1, neverReads: 0.02 },
}
