package spanrill.decisions;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;

/**
 * What the lists heard so far add up to. A change is taken only on top of the version that it builds on; one
 * that doesn't fit is dropped and the whole is asked for. Versions are per epoch of the registry: a registry
 * that starts anew counts from the start, and only a whole list brings its new epoch in.
 */
public final class BoxDirectory {
    /**
     * A box with where it is reached.
     *
     * @param server what the module is told of it
     * @param host address
     * @param port port
     */
    public record Box(Server server, String host, int port) {}

    /**
     * A list as it came.
     *
     * @param kind changes or whole
     * @param epoch start of the registry that it comes from
     * @param base version that the changes build on
     * @param version version that it leads to
     * @param boxes the boxes that it names
     */
    public record ListUpdate(ListKind kind, long epoch, long base, long version, List<Box> boxes) {}

    private final Map<String, Box> boxes = new LinkedHashMap<>();
    private final int most;
    private long epoch = -1;
    private long version = -1;

    /** Holds at most so many boxes. */
    public BoxDirectory(int most) {
        this.most = most;
    }

    /**
     * Takes a list in.
     *
     * @return the servers to tell the module, with the kind of list that it came as, or null when it doesn't
     *     fit and the whole must be asked for
     */
    public List<Server> apply(ListUpdate sheet) {
        if (sheet.kind() == ListKind.CHANGES
                && (sheet.epoch() != epoch || sheet.base() != version || sheet.version() < version)) {
            version = -1;
            return null;
        }
        Set<String> named = new LinkedHashSet<>();
        List<Server> told = new ArrayList<>();
        for (Box box : sheet.boxes()) {
            if (!boxes.containsKey(box.server().id()) && boxes.size() >= most) {
                continue;
            }
            named.add(box.server().id());
            boxes.put(box.server().id(), box);
            told.add(box.server());
        }
        if (sheet.kind() != ListKind.CHANGES) {
            boxes.keySet().retainAll(named);
        }
        epoch = sheet.epoch();
        version = sheet.kind() == ListKind.KEPT ? -1 : sheet.version();
        return told;
    }

    /** The version held, -1 when the whole must be asked for. */
    public long version() {
        return version;
    }

    /** The epoch of the registry heard last, -1 for none. */
    public long epoch() {
        return epoch;
    }

    /** The box of this name, or null. */
    public Box box(String id) {
        return boxes.get(id);
    }

    /** All boxes that are not gone. */
    public List<Box> activeBoxes() {
        return boxes.values().stream()
                .filter(b -> b.server().state() != ServerState.GONE)
                .toList();
    }

    /** Drops boxes that are gone and hold nothing any more. */
    public void removeIfGone(String id) {
        Box box = boxes.get(id);
        if (box != null && box.server().state() == ServerState.GONE) {
            boxes.remove(id);
        }
    }
}
