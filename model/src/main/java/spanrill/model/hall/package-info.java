/** Halls: how far they are from each other, and which are cut off. */
package spanrill.model.hall;
