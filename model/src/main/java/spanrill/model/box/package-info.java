/** Model of how a box handles set-ups: when it accepts or rejects them, and when it crashes while cold. */
package spanrill.model.box;
