/** Injection of a day's troubles into boxes, racks, halls and fronts. */
package spanrill.standin.trouble;
