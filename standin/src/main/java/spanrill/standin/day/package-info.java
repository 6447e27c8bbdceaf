/** The day that a rehearsal plays: its settings, and the arrivals drawn from its seed before it begins. */
package spanrill.standin.day;
