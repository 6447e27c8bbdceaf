/** What no policy can beat: the best total worth of a moment, with all knowledge and free moves. Pure. */
package spanrill.emulator.bound;
