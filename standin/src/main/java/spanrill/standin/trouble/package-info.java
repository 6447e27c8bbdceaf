/** Troubles of a day, done to boxes, racks, halls and fronts at their times. */
package spanrill.standin.trouble;
