package spanrill;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import spanrill.SessionControl.Kind;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.Settings;

/**
 * Capacities of the links of the listed servers and of the racks' uplinks, derived from the settings and the listed
 * sizes. Sums over the listed servers are kept, so that a change of one server takes constant time whatever the length
 * of the list.
 */
public final class LinkCapacities {
    // No link has less, kB a second: a size that is stated as nearly 0 must not make a load infinite.
    private static final double MIN_LINK_KB_PER_S = 1;

    private final Settings settings;
    private final Map<String, Double> streamsByKind = new HashMap<>();
    private final double streamsOfUnknownKind;
    private final Map<Double, Integer> serversByWeight = new HashMap<>();
    private final Sizes[] racks;
    private final Sizes all = new Sizes();

    /** Sums over a number of listed servers. */
    private static final class Sizes {
        private int servers;
        private double streams;
        private double weights;
        private double weightedStreams;

        void add(double weight, double serverStreams, int sign) {
            servers += sign;
            streams = servers == 0 ? 0 : streams + sign * serverStreams;
            weights = servers == 0 ? 0 : weights + sign * weight;
            weightedStreams = servers == 0 ? 0 : weightedStreams + sign * weight * serverStreams;
        }
    }

    /** Creates the capacities of an empty list. */
    public LinkCapacities(Settings settings) {
        this.settings = settings;
        // Of kinds with the same name the first one counts.
        settings.kinds().forEach(kind -> streamsByKind.putIfAbsent(kind.name(), kind.places()));
        streamsOfUnknownKind =
                settings.kinds().stream().mapToDouble(Kind::places).min().orElse(1);
        racks = new Sizes[Math.max(1, settings.racks())];
        Arrays.setAll(racks, i -> new Sizes());
    }

    /** Adds a server that the list shows. */
    public void add(Server server) {
        change(server, 1);
        serversByWeight.merge(weight(server), 1, Integer::sum);
    }

    /** Removes a server, with the same size, kind and cell with which it was added. */
    public void remove(Server server) {
        change(server, -1);
        serversByWeight.computeIfPresent(weight(server), (weight, count) -> count == 1 ? null : count - 1);
    }

    private void change(Server server, int sign) {
        double streams = maxStreams(server.kind());
        racks[rackOf(server)].add(weight(server), streams, sign);
        all.add(weight(server), streams, sign);
    }

    /** Number of racks. */
    public int rackCount() {
        return racks.length;
    }

    /** Number of the rack of a server, from 0. */
    public int rackOf(Server server) {
        return Math.floorMod(server.cell(), racks.length);
    }

    /** Maximum number of concurrent streams of a server of a kind; for an unknown kind, the minimum over all kinds. */
    public double maxStreams(String kind) {
        return streamsByKind.getOrDefault(kind, streamsOfUnknownKind);
    }

    /** Capacity of a server's link, kB a second. */
    public double linkKbPerS(Server server) {
        // Where all listed weights are equal, the streams of its kind give a server's size.
        double size = weight(server) * (hasEqualWeights() ? maxStreams(server.kind()) / meanStreams() : 1);
        return Math.max(MIN_LINK_KB_PER_S, size * settings.weightKb());
    }

    /** Capacity of a rack's uplink, kB a second: its part of all uplinks is that of its servers' links. */
    public double uplinkKbPerS(int rack) {
        double share = linksKbPerS(racks[rack]) / (1 + linksKbPerS(all));
        return Math.max(MIN_LINK_KB_PER_S, share * settings.uplinkKb() * racks.length);
    }

    private double linksKbPerS(Sizes sizes) {
        double size = hasEqualWeights() ? sizes.weightedStreams / meanStreams() : sizes.weights;
        return Math.max(MIN_LINK_KB_PER_S * sizes.servers, size * settings.weightKb());
    }

    private boolean hasEqualWeights() {
        return serversByWeight.size() <= 1;
    }

    private double meanStreams() {
        return all.servers == 0 ? 1 : all.streams / all.servers;
    }

    private static double weight(Server server) {
        double weight = server.weight();
        return Double.isFinite(weight) && weight > 0 ? weight : 1;
    }
}
