/** Bandwidth sharing on box links and rack uplinks (proofs in docs/model.md). */
package spanrill.model.link;
