/** What all protocols here share on the network. */
package spanrill.wire;
