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
 * The front's copy of the registry's box list, built from whole lists and changes. Changes are applied only to
 * the version that they are based on; otherwise they are dropped and the whole list must be requested. Versions
 * are counted per epoch: a restarted registry counts from the start, and only a whole list introduces its new
 * epoch.
 */
public final class BoxDirectory {
    /**
     * A box and its address.
     *
     * @param server the description of the box that the module gets
     * @param host host name or address
     * @param port TCP port
     */
    public record Box(Server server, String host, int port) {}

    /**
     * A list received from the registry or read from disk.
     *
     * @param kind whole, changes or kept
     * @param epoch start of the registry process that sent the list
     * @param base version that changes are based on
     * @param version version after the list is applied
     * @param boxes the boxes in the list
     */
    public record ListUpdate(ListKind kind, long epoch, long base, long version, List<Box> boxes) {}

    private final Map<String, Box> boxes = new LinkedHashMap<>();
    private final int capacity;
    private long epoch = -1;
    private long version = -1;

    /** Creates an empty directory of at most {@code capacity} boxes; further boxes are ignored. */
    public BoxDirectory(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Applies a list.
     *
     * @return the servers to pass to the module with the kind of the list, or null when the list does not
     *     follow the current version and the whole list must be requested
     */
    public List<Server> apply(ListUpdate update) {
        if (update.kind() == ListKind.CHANGES
                && (update.epoch() != epoch || update.base() != version || update.version() < version)) {
            requestWholeList();
            return null;
        }
        Set<String> listedIds = new LinkedHashSet<>();
        List<Server> servers = new ArrayList<>();
        for (Box box : update.boxes()) {
            if (!boxes.containsKey(box.server().id()) && boxes.size() >= capacity) {
                continue;
            }
            listedIds.add(box.server().id());
            boxes.put(box.server().id(), box);
            servers.add(box.server());
        }
        if (update.kind() != ListKind.CHANGES) {
            boxes.keySet().retainAll(listedIds);
        }
        epoch = update.epoch();
        version = update.kind() == ListKind.KEPT ? -1 : update.version();
        return servers;
    }

    /** Makes the front request the whole list, because a list could not be applied. */
    public void requestWholeList() {
        version = -1;
    }

    /** Current version, -1 when the whole list must be requested. */
    public long version() {
        return version;
    }

    /** Epoch of the last list, -1 before the first one. */
    public long epoch() {
        return epoch;
    }

    /** The box with this id, or null. */
    public Box box(String id) {
        return boxes.get(id);
    }

    /** All boxes whose state is not {@link ServerState#GONE}. */
    public List<Box> activeBoxes() {
        return boxes.values().stream()
                .filter(box -> box.server().state() != ServerState.GONE)
                .toList();
    }

    /** Removes the box when its state is {@link ServerState#GONE}; to be called once the box holds no sessions. */
    public void removeIfGone(String id) {
        Box box = boxes.get(id);
        if (box != null && box.server().state() == ServerState.GONE) {
            boxes.remove(id);
        }
    }
}
