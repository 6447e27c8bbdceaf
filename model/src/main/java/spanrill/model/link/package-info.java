/** Links of boxes and uplinks of racks, and how the sessions on them share (docs/model.md has the proofs). */
package spanrill.model.link;
