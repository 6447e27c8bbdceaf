// The DASH path under load: 16 new sessions a second for ten minutes, retrying and doubled tokens, boxes that die and
// answers that are lost each minute, fronts killed twice. Not for CI.
local common = import 'common.libsonnet';
common {
  seed: 1,
  lengthMs: 600000,
  tailMs: 6000,
  byteScale: 0.02,
  fronts: 3,
  boxes: {
    count: 30, racks: 6, places: 40, linkKb: 9000, linkSpread: 0.2, uplinkShare: 0.68, uplinkSpread: 0.2,
    setUpMs: 40, coldMs: 6000, coldShare: 0.5,
  },
  titles: { count: 60, zipf: 0.8, copies: [4, 7], audioKb: 24, patternMs: [1000, 960, 1040] },
  arrivals: { perS: 16, shape: 'wave', swing: 0.3, waveMs: 60000 },
  viewers: { doubles: 0.15, replays: 0.15, leaves: 0.05 },
  troubles: [
    common.trouble('answer_lost', 60 * minute + 15, 10, 0.3)
    for minute in std.range(0, 9)
  ] + [
    common.trouble('crash', 60 * minute + 35, 4, 0.07)
    for minute in std.range(0, 9)
  ] + [
    common.trouble('balancer_crash', 130, 4, 0.3),
    common.trouble('balancer_crash', 430, 4, 0.6),
  ],
}
