package spanrill.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spanrill.day.Arrival;
import spanrill.day.Day;
import spanrill.day.DayPlan;
import spanrill.emulator.bound.BestPossible;
import spanrill.emulator.bound.HolderFlow;
import spanrill.emulator.bound.Wish;
import spanrill.model.link.LinkNetwork;

/**
 * Looks from time to time at what those who watch would earn at their highest rungs, what they earn, and the
 * most that could be earned at that moment. Only the session that a viewer holds now counts: what plays for
 * nobody earns nothing.
 */
final class WorthMeter {
    /** A session that gets this share of its rate misses nothing. */
    private static final double ENOUGH = 0.98;

    private final World world;
    private final Day day;
    private final LinkNetwork network;
    private final List<Arrival> arrivals;
    private final List<int[]> holders = new ArrayList<>();
    private final int[] rackOf;
    private final boolean bound;
    private final Map<String, Viewer> viewers = new HashMap<>();
    private final double lookMs;
    private double changes;
    private double asked;
    private double earned;
    private double most;
    private int looks;

    WorthMeter(World world, DayPlan plan, LinkNetwork network, double lookMs, boolean bound) {
        this.world = world;
        this.network = network;
        this.bound = bound;
        this.lookMs = lookMs;
        day = world.day();
        arrivals = plan.arrivals();
        for (int[] placed : plan.titlePlacements()) {
            int[] cells = new int[placed[1]];
            for (int i = 0; i < cells.length; i++) {
                cells[i] = (placed[0] + i) % day.boxes().count();
            }
            holders.add(cells);
        }
        rackOf = world.boxes().stream().mapToInt(box -> box.plan().rack()).toArray();
    }

    void came(String name, Viewer viewer) {
        viewers.put(name, viewer);
    }

    void went(String name) {
        viewers.remove(name);
    }

    /** True when a viewer watches this very session. */
    private boolean held(Box.Playing session) {
        Viewer viewer = viewers.get(session.token.substring(0, session.token.lastIndexOf('.')));
        return viewer != null && viewer.holds(session.token);
    }

    /** A session goes to another rung: that costs so much time of the worth that it goes to. */
    void changed(Box.Playing session, int rung) {
        if (held(session)) {
            changes +=
                    session.worth * day.ladder().worth().get(rung) * day.notes().changeCostMs() / lookMs;
        }
    }

    void look() {
        looks++;
        double t = world.now() - World.BEGIN_MS;
        List<Wish> wishes = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            if (arrival.atMs() > t) {
                break;
            }
            if (arrival.atMs() + arrival.traits().watchMs() > t) {
                wish(arrival, wishes);
            }
        }
        for (Box box : world.boxes()) {
            double part = part(box.share());
            for (Box.Playing session : box.sessions()) {
                if (held(session)) {
                    double price =
                            session.front.hall() == box.hall() ? 0 : day.rules().crossZonePrice();
                    earned += (1 - price)
                            * part
                            * session.worth
                            * day.ladder().worth().get(session.rung);
                }
            }
        }
        if (bound) {
            long[] links = new long[rackOf.length];
            for (int i = 0; i < links.length; i++) {
                links[i] = world.boxes().get(i).up() ? network.linkCapacity(i) : 0;
            }
            long[] uplinks = new long[day.boxes().racks()];
            for (int i = 0; i < uplinks.length; i++) {
                uplinks[i] = network.uplinkCapacity(i);
            }
            most += BestPossible.worth(wishes, new HolderFlow(holders, links, rackOf, uplinks));
        }
    }

    /**
     * Part of a rung's worth that a session earns at a share of its rate: all of it from 98% on, and below
     * that so many points less for each point that is missing as the day states; never more than in
     * proportion to what it gets, so that it stays on or under the wishes' hulls.
     */
    private double part(double share) {
        double missing = Math.max(0, ENOUGH - share);
        return Math.max(0, Math.min(Math.min(1, share / ENOUGH), 1 - day.notes().stall() * missing));
    }

    private void wish(Arrival arrival, List<Wish> wishes) {
        Day.DayClass type = day.classes().get(arrival.traits().serviceClass());
        int top = Math.max(
                type.floor(),
                Math.min(
                        arrival.traits().topRung(),
                        Math.min(type.top(), day.ladder().kb().size() - 1)));
        long[] rates = new long[top - type.floor() + 1];
        double[] worths = new double[rates.length];
        for (int i = 0; i < rates.length; i++) {
            rates[i] = Math.max(1, (long) (day.ladder().kb().get(type.floor() + i) * type.scale() * 1000 * ENOUGH));
            worths[i] = type.worth() * day.ladder().worth().get(type.floor() + i);
        }
        asked += worths[worths.length - 1];
        wishes.add(Wish.of(arrival.traits().title(), rates, worths));
    }

    Worth worth() {
        return new Worth(looks, asked, earned - changes, bound ? most : Double.NaN);
    }
}
