/** Troubles of a day and the effects that they have on boxes, racks, halls and fronts, computed in advance. */
package spanrill.model.trouble;
