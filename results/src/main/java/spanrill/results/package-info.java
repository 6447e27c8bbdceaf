/** Measurements of a run as rows in Parquet files, the check of bandwidth shares on these rows, and charts. */
package spanrill.results;
