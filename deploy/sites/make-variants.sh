#!/bin/sh
# Writes a variant of a given site for each *.values file here: the site file with other customers' values, and
# copies of what lies beside it. Everything written is git-ignored; only the values are ours.
#
#   deploy/sites/make-variants.sh FOLDER/SITE.toml
#
# A line of a values file is one of
#   set SECTION N KEY VALUE...   KEY of the N-th section of that name (a dash for what stands before all sections)
#   drop SECTION N               without the N-th section of that name
#   add SECTION KEY VALUE...     a further section at the end with that key; each line "and KEY VALUE..." adds one
# A key or section that is not found ends it with a plain line and exit code 1.
set -eu
[ $# -eq 1 ] || { echo "usage: make-variants.sh SITE.toml" >&2; exit 2; }
[ -r "$1" ] || { echo "make-variants: can't read the site '$1'" >&2; exit 2; }
given=$(cd "$(dirname "$1")" && pwd)
here=$(cd "$(dirname "$0")" && pwd)
for values in "$here"/*.values; do
    name=$(basename "$values" .values)
    out="$here/$name"
    mkdir -p "$out"
    awk -v values="$(basename "$values")" -v name="$name" '
        function stop(why) { print "make-variants: " values ": " why > "/dev/stderr"; failed = 1; exit 1 }
        function rest(from,   i, text) { for (i = from; i <= NF; i++) text = text (i > from ? " " : "") $i; return text }
        FNR == NR {
            if ($0 ~ /^[ \t]*(#|$)/) next
            if ($1 == "set") { set[$2 SUBSEP $3 SUBSEP $4] = rest(5); next }
            if ($1 == "drop") { drop[$2 SUBSEP $3] = 1; next }
            if ($1 == "add") { added = added "\n[[" $2 "]]\n" $3 " = " rest(4) "\n"; next }
            if ($1 == "and") { added = added $2 " = " rest(3) "\n"; next }
            stop("line " FNR " begins with none of set, drop, add, and: " $1)
        }
        FNR == 1 { section = "-"; count["-"] = 1 }
        /^\[/ {
            section = $0; gsub(/[][ \t]/, "", section); count[section]++
            if ((section SUBSEP count[section]) in drop) seen[section SUBSEP count[section]] = 1
        }
        (section SUBSEP count[section]) in drop { next }
        /^[a-z_0-9]+ *=/ {
            key = section SUBSEP count[section] SUBSEP $1
            if (key in set) { print $1 " = " set[key]; done[key] = 1; next }
            if (section == "-" && $1 == "name") { print "name = \"" name "\""; next }
        }
        { print }
        END {
            if (failed) exit 1
            for (key in set) if (!(key in done)) { split(key, k, SUBSEP); stop("no key \047" k[3] "\047 in section " k[1] " " k[2]) }
            for (key in drop) if (!(key in seen)) { split(key, k, SUBSEP); stop("no section " k[1] " " k[2]) }
            printf "%s", added
        }' "$values" "$1" > "$out/$name.toml.new" || { rm -f "$out/$name.toml.new"; exit 1; }
    mv "$out/$name.toml.new" "$out/$name.toml"
    for file in real.json wire.json unlock.txt; do
        [ -r "$given/$file" ] || { echo "make-variants: no $file beside the site '$1'" >&2; exit 1; }
        cp "$given/$file" "$out/$file"
        chmod u+w "$out/$file"
    done
    echo "$out/$name.toml"
done
