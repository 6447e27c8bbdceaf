package spanrill.node.config;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import spanrill.SessionControl.ServerState;
import spanrill.node.config.ServerListUpdate.Member;

/**
 * Which listed server has which address. Only one can have it: discovery gives the address of a server that has gone to
 * a new one, and may tell of the new one long before it calls the old one gone.
 */
public final class AddressOwners {
    private final Map<InetSocketAddress, Member> ownerByAddress = new HashMap<>();
    private final Map<String, InetSocketAddress> addressById = new HashMap<>();
    /** Servers that lost their address to another one, as they were listed, by id. */
    private final Map<String, Member> replaced = new HashMap<>();

    /**
     * Applies a list entry.
     *
     * @return the server that has gone because its address belongs to another one: the former owner of the address, or
     *     the listed server itself if the owner was started later; null when there is none
     */
    public Member apply(Member member) {
        String id = member.server().id();
        if (member.server().state() == ServerState.GONE) {
            remove(id);
            replaced.remove(id);
            return null;
        }
        Member owner = ownerByAddress.get(member.address());
        if (isSameProcess(member, replaced.get(id))) {
            return member;
        }
        if (owner != null && !owner.server().id().equals(id)) {
            if (startedAt(member) < startedAt(owner)) {
                replaced.put(id, member);
                return member;
            }
            remove(owner.server().id());
            replaced.put(owner.server().id(), owner);
            take(member);
            return owner;
        }
        take(member);
        return null;
    }

    /** Forgets the servers that a complete list no longer names. */
    public void retainOnly(Set<String> listedIds) {
        replaced.keySet().retainAll(listedIds);
        ownerByAddress
                .values()
                .removeIf(owner -> !listedIds.contains(owner.server().id()));
        addressById.keySet().retainAll(listedIds);
    }

    private void take(Member member) {
        String id = member.server().id();
        replaced.remove(id);
        if (!member.address().equals(addressById.get(id))) {
            remove(id);
        }
        ownerByAddress.put(member.address(), member);
        addressById.put(id, member.address());
    }

    private void remove(String id) {
        InetSocketAddress address = addressById.remove(id);
        if (address != null) {
            ownerByAddress.remove(address);
        }
    }

    private static boolean isSameProcess(Member member, Member other) {
        return other != null && member.address().equals(other.address()) && startedAt(member) == startedAt(other);
    }

    /** Time of the last start, ms since 1970; 0 for one long ago. */
    private static double startedAt(Member member) {
        double startedAt = member.server().startedAt();
        return Double.isNaN(startedAt) ? 0 : startedAt;
    }
}
