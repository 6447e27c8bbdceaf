package spanrill.model.link;

import java.util.ArrayList;
import java.util.List;

/**
 * Boxes with links, racks with uplinks, and flows that ask rates of them. The rule:
 *
 * <ol>
 * <li>A link cuts first. Where the flows of a box ask {@code A} in all of a link that gives {@code L},
 * each is
 *     let through with the share {@code min(1, L / A)} of its own rate.
 * <li>A rack's uplink sees what its links let through, {@code T}. Where that is more than the uplink gives,
 *     {@code U}, each flow of the rack is cut once more by the same {@code min(1, U / T)}.
 * </ol>
 *
 * <p>The share of a flow is the product. It depends on sums alone, and sums are kept in whole bytes a second,
 * so it is the same whatever the order of changes was. A change costs O(1), and O(boxes of the rack) when the
 * cut of the uplink changes; never anything by the number of flows.
 *
 * <p>Times are milliseconds and must not go back.
 */
public final class LinkNetwork {
    /** A session's claim on a box. */
    public static final class Flow {
        private final Box box;
        private long rate;
        private double grantedBefore;
        private double since;
        private boolean gone;

        private Flow(Box box, long rate) {
            this.box = box;
            this.rate = rate;
            since = box.integral;
        }

        /** Rate that it asks, bytes a second. */
        public long rate() {
            return rate;
        }

        /** Number of its box. */
        public int box() {
            return box.number;
        }
    }

    private static final class Box {
        private final int number;
        private final Rack rack;
        private long gives;
        private long asked;
        private int flows;
        private double share = 1;
        private double integral;
        private double at = Double.NaN;
        private long changes;

        Box(int number, Rack rack, long gives) {
            this.number = number;
            this.rack = rack;
            this.gives = gives;
        }

        long through() {
            return Math.min(asked, gives);
        }

        double own() {
            return asked <= gives ? 1 : (double) gives / asked;
        }

        /** Brings the integral of its share up to a time. */
        void settle(double now) {
            if (!Double.isNaN(at)) {
                integral += share * (now - at);
            }
            at = now;
        }
    }

    private static final class Rack {
        private final List<Box> boxes = new ArrayList<>();
        private long gives;
        private long through;
        private double cut = 1;

        double wanted() {
            return through <= gives ? 1 : (double) gives / through;
        }
    }

    private final List<Box> boxes = new ArrayList<>();
    private final List<Rack> racks = new ArrayList<>();
    private double now = Double.NEGATIVE_INFINITY;

    /** Adds a rack whose uplink gives so many bytes a second; gives its number. */
    public int addRack(long bytesPerS) {
        Rack rack = new Rack();
        rack.gives = checked(bytesPerS);
        racks.add(rack);
        return racks.size() - 1;
    }

    /** Adds a box to a rack; gives its number. */
    public int addBox(int rack, long bytesPerS) {
        Box box = new Box(boxes.size(), racks.get(rack), checked(bytesPerS));
        box.rack.boxes.add(box);
        boxes.add(box);
        return box.number;
    }

    private static long checked(long bytesPerS) {
        if (bytesPerS < 0 || bytesPerS > 1L << 52) {
            throw new IllegalArgumentException("a rate must be from 0 to 2^52 bytes a second");
        }
        return bytesPerS;
    }

    private void at(double time) {
        if (!(time >= now)) {
            throw new IllegalArgumentException("time went back from " + now + " to " + time);
        }
        now = time;
    }

    /** A flow begins. */
    public Flow addFlow(double time, int box, long bytesPerS) {
        at(time);
        Box to = boxes.get(box);
        to.settle(time);
        Flow flow = new Flow(to, checked(bytesPerS));
        to.flows++;
        ask(time, to, bytesPerS);
        return flow;
    }

    /** A flow asks another rate. */
    public void setRate(double time, Flow flow, long bytesPerS) {
        at(time);
        live(flow);
        flow.box.settle(time);
        flow.grantedBefore = grantedBytes(time, flow);
        flow.since = flow.box.integral;
        long change = checked(bytesPerS) - flow.rate;
        flow.rate = bytesPerS;
        ask(time, flow.box, change);
    }

    /** A flow ends; gives the bytes granted to it in all. */
    public double removeFlow(double time, Flow flow) {
        at(time);
        live(flow);
        double granted = grantedBytes(time, flow);
        flow.gone = true;
        flow.box.flows--;
        ask(time, flow.box, -flow.rate);
        return granted;
    }

    private static void live(Flow flow) {
        if (flow.gone) {
            throw new IllegalArgumentException("the flow has ended");
        }
    }

    /** A link gives another rate. */
    public void setLinkCapacity(double time, int box, long bytesPerS) {
        at(time);
        Box of = boxes.get(box);
        of.settle(time);
        long before = of.through();
        of.gives = checked(bytesPerS);
        changed(time, of, before);
    }

    /** An uplink gives another rate. */
    public void setUplinkCapacity(double time, int rack, long bytesPerS) {
        at(time);
        racks.get(rack).gives = checked(bytesPerS);
        recut(time, racks.get(rack));
    }

    private void ask(double time, Box box, long change) {
        box.settle(time);
        long before = box.through();
        box.asked += change;
        changed(time, box, before);
    }

    private void changed(double time, Box box, long throughBefore) {
        box.rack.through += box.through() - throughBefore;
        box.changes++;
        recut(time, box.rack);
        box.share = box.own() * box.rack.cut;
    }

    private void recut(double time, Rack rack) {
        double cut = rack.wanted();
        if (cut == rack.cut) {
            return;
        }
        rack.cut = cut;
        for (Box box : rack.boxes) {
            box.settle(time);
            box.share = box.own() * cut;
            box.changes++;
        }
    }

    /** Share of its own rate that each flow of a box gets now. */
    public double share(int box) {
        return boxes.get(box).share;
    }

    /** Bytes granted to a flow since it began. */
    public double grantedBytes(double time, Flow flow) {
        Box box = flow.box;
        double integral = box.integral + box.share * (time - box.at);
        return flow.grantedBefore + flow.rate * (integral - flow.since) / 1000;
    }

    /** What is asked of a link over what it gives. */
    public double linkUtilization(int box) {
        Box of = boxes.get(box);
        return over(of.asked, of.gives);
    }

    /** What its links let through to an uplink over what it gives. */
    public double uplinkUtilization(int rack) {
        return over(racks.get(rack).through, racks.get(rack).gives);
    }

    private static double over(long asked, long gives) {
        return gives > 0 ? (double) asked / gives : asked > 0 ? Double.POSITIVE_INFINITY : 0;
    }

    /** What the flows of a box ask, bytes a second. */
    public long requestedBytesPerS(int box) {
        return boxes.get(box).asked;
    }

    /** What a link gives, bytes a second. */
    public long linkCapacity(int box) {
        return boxes.get(box).gives;
    }

    /** What an uplink gives, bytes a second. */
    public long uplinkCapacity(int rack) {
        return racks.get(rack).gives;
    }

    /** Counts what changed the share of a box: the same count before and after says that it stood still. */
    public long shareChanges(int box) {
        return boxes.get(box).changes;
    }

    /** Flows on a box. */
    public int flowCount(int box) {
        return boxes.get(box).flows;
    }
}
