/**
 * Soak test of the front node: real node processes run between scripted clients, servers and discovery on
 * loopback, with faults generated from a seed. A checker verifies the protocol rules on the recorded socket events.
 */
package spanrill.soak;
