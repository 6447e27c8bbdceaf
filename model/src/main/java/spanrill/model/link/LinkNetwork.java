package spanrill.model.link;

import java.util.ArrayList;
import java.util.List;

/**
 * Bandwidth sharing between flows on the links of boxes and the uplinks of racks:
 *
 * <ol>
 * <li>Link: if the flows of a box request {@code A} bytes per second in total and the link has the capacity
 *     {@code L}, each flow passes the link with the share {@code min(1, L / A)} of its own rate.
 * <li>Uplink: if the links of a rack pass {@code T} bytes per second in total and the uplink has the capacity
 *     {@code U}, the rate of each flow of the rack is multiplied by {@code min(1, U / T)} as well.
 * </ol>
 *
 * <p>The share of a flow is the product of both. It depends only on sums, which are kept in whole bytes per second, so
 * the result does not depend on the order of changes. A change costs O(1), or O(boxes of the rack) if the share of
 * the uplink changes; the cost never depends on the number of flows.
 *
 * <p>All times are in milliseconds and must not decrease from call to call.
 */
public final class LinkNetwork {
    /** A session's demand for bandwidth of a box. */
    public static final class Flow {
        private final Box box;
        private long rate;
        private double grantedBefore;
        private double integralAtRateChange;
        private boolean removed;

        private Flow(Box box, long rate) {
            this.box = box;
            this.rate = rate;
            integralAtRateChange = box.shareIntegral;
        }

        /** Returns the requested rate in bytes per second. */
        public long rate() {
            return rate;
        }

        /** Returns the number of the box. */
        public int box() {
            return box.number;
        }
    }

    private static final class Box {
        private final int number;
        private final Rack rack;
        private long capacity;
        private long requested;
        private int flowCount;
        private double share = 1;
        /** Integral of the share over time, in ms, up to {@code settledAtMs}. */
        private double shareIntegral;

        private double settledAtMs = Double.NaN;
        private long shareChanges;

        Box(int number, Rack rack, long capacity) {
            this.number = number;
            this.rack = rack;
            this.capacity = capacity;
        }

        /** Bytes per second that pass the link to the uplink. */
        long passedByLink() {
            return Math.min(requested, capacity);
        }

        /** Share of the requested rates that the link allows. */
        double linkShare() {
            return requested <= capacity ? 1 : (double) capacity / requested;
        }

        /** Updates the integral of the share to time {@code now}. */
        void settle(double now) {
            if (!Double.isNaN(settledAtMs)) {
                shareIntegral += share * (now - settledAtMs);
            }
            settledAtMs = now;
        }
    }

    private static final class Rack {
        private final List<Box> boxes = new ArrayList<>();
        private long capacity;
        private long passedByLinks;
        private double uplinkShare = 1;

        /** Share of the rates arriving from the links that the uplink allows. */
        double computeUplinkShare() {
            return passedByLinks <= capacity ? 1 : (double) capacity / passedByLinks;
        }
    }

    private final List<Box> boxes = new ArrayList<>();
    private final List<Rack> racks = new ArrayList<>();
    private double now = Double.NEGATIVE_INFINITY;

    /** Adds a rack with this uplink capacity and returns the number of the rack. */
    public int addRack(long bytesPerS) {
        Rack rack = new Rack();
        rack.capacity = checkRate(bytesPerS);
        racks.add(rack);
        return racks.size() - 1;
    }

    /** Adds a box with this link capacity to a rack and returns the number of the box. */
    public int addBox(int rack, long bytesPerS) {
        Box box = new Box(boxes.size(), racks.get(rack), checkRate(bytesPerS));
        box.rack.boxes.add(box);
        boxes.add(box);
        return box.number;
    }

    private static long checkRate(long bytesPerS) {
        if (bytesPerS < 0 || bytesPerS > 1L << 52) {
            throw new IllegalArgumentException("a rate must be from 0 to 2^52 bytes per second");
        }
        return bytesPerS;
    }

    private void advanceTo(double time) {
        if (!(time >= now)) {
            throw new IllegalArgumentException("time must not decrease: from " + now + " to " + time);
        }
        now = time;
    }

    /** Adds a flow with this requested rate to a box. */
    public Flow addFlow(double time, int box, long bytesPerS) {
        advanceTo(time);
        Box target = boxes.get(box);
        target.settle(time);
        Flow flow = new Flow(target, checkRate(bytesPerS));
        target.flowCount++;
        changeRequested(time, target, bytesPerS);
        return flow;
    }

    /** Changes the requested rate of a flow. */
    public void setRate(double time, Flow flow, long bytesPerS) {
        advanceTo(time);
        requireActive(flow);
        flow.box.settle(time);
        flow.grantedBefore = grantedBytes(time, flow);
        flow.integralAtRateChange = flow.box.shareIntegral;
        long change = checkRate(bytesPerS) - flow.rate;
        flow.rate = bytesPerS;
        changeRequested(time, flow.box, change);
    }

    /** Removes a flow and returns the bytes that were granted to it in total. */
    public double removeFlow(double time, Flow flow) {
        advanceTo(time);
        requireActive(flow);
        double granted = grantedBytes(time, flow);
        flow.removed = true;
        flow.box.flowCount--;
        changeRequested(time, flow.box, -flow.rate);
        return granted;
    }

    private static void requireActive(Flow flow) {
        if (flow.removed) {
            throw new IllegalArgumentException("the flow has been removed already");
        }
    }

    /** Changes the link capacity of a box. */
    public void setLinkCapacity(double time, int box, long bytesPerS) {
        advanceTo(time);
        Box target = boxes.get(box);
        target.settle(time);
        long passedBefore = target.passedByLink();
        target.capacity = checkRate(bytesPerS);
        updateShares(time, target, passedBefore);
    }

    /** Changes the uplink capacity of a rack. */
    public void setUplinkCapacity(double time, int rack, long bytesPerS) {
        advanceTo(time);
        racks.get(rack).capacity = checkRate(bytesPerS);
        updateUplinkShare(time, racks.get(rack));
    }

    private void changeRequested(double time, Box box, long change) {
        box.settle(time);
        long passedBefore = box.passedByLink();
        box.requested += change;
        updateShares(time, box, passedBefore);
    }

    private void updateShares(double time, Box box, long passedBefore) {
        box.rack.passedByLinks += box.passedByLink() - passedBefore;
        box.shareChanges++;
        updateUplinkShare(time, box.rack);
        box.share = box.linkShare() * box.rack.uplinkShare;
    }

    private void updateUplinkShare(double time, Rack rack) {
        double uplinkShare = rack.computeUplinkShare();
        if (uplinkShare == rack.uplinkShare) {
            return;
        }
        rack.uplinkShare = uplinkShare;
        for (Box box : rack.boxes) {
            box.settle(time);
            box.share = box.linkShare() * uplinkShare;
            box.shareChanges++;
        }
    }

    /** Returns the share of its requested rate that each flow of a box gets now. */
    public double share(int box) {
        return boxes.get(box).share;
    }

    /** Returns the bytes granted to a flow since it was added. */
    public double grantedBytes(double time, Flow flow) {
        Box box = flow.box;
        double shareIntegral = box.shareIntegral + box.share * (time - box.settledAtMs);
        return flow.grantedBefore + flow.rate * (shareIntegral - flow.integralAtRateChange) / 1000;
    }

    /** Returns the requested rate on a link divided by its capacity; above 1 the link is overloaded. */
    public double linkUtilization(int box) {
        Box target = boxes.get(box);
        return utilization(target.requested, target.capacity);
    }

    /** Returns the rate that arrives at an uplink from the links divided by the uplink capacity. */
    public double uplinkUtilization(int rack) {
        return utilization(racks.get(rack).passedByLinks, racks.get(rack).capacity);
    }

    private static double utilization(long load, long capacity) {
        return capacity > 0 ? (double) load / capacity : load > 0 ? Double.POSITIVE_INFINITY : 0;
    }

    /** Returns the sum of the requested rates on a box, in bytes per second. */
    public long requestedBytesPerS(int box) {
        return boxes.get(box).requested;
    }

    /** Returns the link capacity of a box, in bytes per second. */
    public long linkCapacity(int box) {
        return boxes.get(box).capacity;
    }

    /** Returns the uplink capacity of a rack, in bytes per second. */
    public long uplinkCapacity(int rack) {
        return racks.get(rack).capacity;
    }

    /** Counts the updates of the share of a box. If the count is unchanged, the share was constant in between. */
    public long shareChanges(int box) {
        return boxes.get(box).shareChanges;
    }

    /** Returns the number of flows on a box. */
    public int flowCount(int box) {
        return boxes.get(box).flowCount;
    }
}
