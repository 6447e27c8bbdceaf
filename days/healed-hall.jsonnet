// A hall is cut off for ten seconds; when it heals, all its viewers try again at once.
local common = import 'common.libsonnet';
common {
  seed: 1,
  lengthMs: 45000,
  tailMs: 5000,
  byteScale: 0.02,
  fronts: 6,
  boxes: {
    count: 30, racks: 6, places: 24, linkKb: 6600, linkSpread: 0.2, uplinkShare: 0.68, uplinkSpread: 0.2,
    setUpMs: 40, coldMs: 6000, coldShare: 0.5,
  },
  titles: { count: 60, zipf: 0.8, copies: [3, 5] },
  arrivals: { perS: 12 },
  viewers: { tries: 5, honour: 0.6, waitForHall: 0.9 },
  troubles: [common.trouble('zone_cut', 15, 10, 0.3)],
}
