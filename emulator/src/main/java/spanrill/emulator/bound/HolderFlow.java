package spanrill.emulator.bound;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * How much of each title can be carried at once: a flow from titles to the boxes that hold them, each within
 * its link, and on to their racks, each within its uplink. More of one title may send others over other
 * holders, but never takes from what they have: augmenting paths (Ford and Fulkerson, 1956), the shortest
 * first.
 */
public final class HolderFlow {
    private final int titles;
    private final int boxes;
    private final int sink;
    private final List<int[]> edgesOf = new ArrayList<>();
    private final int[] to;
    private final long[] room;
    private int edges;
    private final boolean[] full;

    /**
     * An empty flow.
     *
     * @param holders boxes that hold each title
     * @param links what each box's link gives
     * @param rackOf rack of each box
     * @param uplinks what each rack's uplink gives
     */
    public HolderFlow(List<int[]> holders, long[] links, int[] rackOf, long[] uplinks) {
        titles = holders.size();
        boxes = links.length;
        sink = titles + boxes + uplinks.length;
        int count = holders.stream().mapToInt(h -> h.length).sum() + boxes + uplinks.length;
        to = new int[2 * count];
        room = new long[2 * count];
        int[] degree = new int[sink + 1];
        int[][] ends = new int[count][];
        long[] rooms = new long[count];
        int next = 0;
        for (int title = 0; title < titles; title++) {
            for (int box : holders.get(title)) {
                rooms[next] = Long.MAX_VALUE / 4;
                ends[next++] = new int[] {title, titles + box};
            }
        }
        for (int box = 0; box < boxes; box++) {
            rooms[next] = links[box];
            ends[next++] = new int[] {titles + box, titles + boxes + rackOf[box]};
        }
        for (int rack = 0; rack < uplinks.length; rack++) {
            rooms[next] = uplinks[rack];
            ends[next++] = new int[] {titles + boxes + rack, sink};
        }
        for (int[] each : ends) {
            degree[each[0]]++;
            degree[each[1]]++;
        }
        for (int d : degree) {
            edgesOf.add(new int[d]);
        }
        int[] filled = new int[sink + 1];
        for (int i = 0; i < count; i++) {
            int a = ends[i][0];
            int b = ends[i][1];
            to[edges] = b;
            room[edges] = rooms[i];
            edgesOf.get(a)[filled[a]++] = edges++;
            to[edges] = a;
            edgesOf.get(b)[filled[b]++] = edges++;
        }
        full = new boolean[titles];
    }

    /** Carries up to so much more of a title; gives how much that was. What is carried already stays. */
    public long add(int title, long most) {
        long added = 0;
        // A title that can't have more never can again: what is carried only grows.
        while (added < most && !full[title]) {
            int[] by = path(title);
            if (by == null) {
                full[title] = true;
                break;
            }
            long push = most - added;
            for (int at = sink; at != title; at = to[by[at] ^ 1]) {
                push = Math.min(push, room[by[at]]);
            }
            for (int at = sink; at != title; at = to[by[at] ^ 1]) {
                room[by[at]] -= push;
                room[by[at] ^ 1] += push;
            }
            added += push;
        }
        return added;
    }

    /** The edge by which each node of a shortest path to the sink is reached, or null when there is none. */
    private int[] path(int title) {
        int[] by = new int[sink + 1];
        Arrays.fill(by, -1);
        ArrayDeque<Integer> next = new ArrayDeque<>();
        next.add(title);
        while (!next.isEmpty()) {
            int at = next.poll();
            for (int edge : edgesOf.get(at)) {
                int node = to[edge];
                if (room[edge] > 0 && by[node] < 0 && node != title) {
                    by[node] = edge;
                    if (node == sink) {
                        return by;
                    }
                    next.add(node);
                }
            }
        }
        return null;
    }
}
