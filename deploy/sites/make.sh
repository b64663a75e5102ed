#!/bin/sh
# Makes the site files of other customers (README.md beside this) from the operators' own, into a folder that git ignores.
# usage: deploy/sites/make.sh FOLDER-OF-THE-SITE-FILE
set -e
from=$1
out=$(dirname "$0")/made
mkdir -p "$out"
for file in real.json wire.json unlock.txt; do cp "$from/$file" "$out/"; done
chmod -R u+w "$out"

# Names, effects, shares and times of the two classes change places with what the other class had, and the limits are tighter.
awk '
  /^\[\[class\]\]/ { class++ }
  /^name = "goleuo-cymru"/ { $0 = "name = \"effects-swapped\"" }
  /^name = "lookup"/ { $0 = "name = \"write-off\"" }
  /^name = "repair-order"/ { $0 = "name = \"meter-reading\"" }
  /^effect = / { $0 = class == 1 ? "effect = \"unsafe\"" : "effect = \"safe\"" }
  /^share = / && class == 1 && !shared[1]++ { $0 = "share = [0.3, 0.45]" }
  /^share = / && class == 2 && !shared[2]++ { $0 = "share = [0.55, 0.7]" }
  /^deadline_ms = / { $0 = class == 1 ? "deadline_ms = 9000" : "deadline_ms = 4000" }
  /^aim_ms = / { $0 = class == 1 ? "aim_ms = 2400" : "aim_ms = 1100" }
  /^worth = / { $0 = class == 1 ? "worth = 6" : "worth = 1" }
  /^max_attempts = / { $0 = "max_attempts = 3" }
  /^release_ms = / { $0 = "release_ms = 400" }
  /^waste = / { $0 = "waste = 0.2" }
  /^max_retry_after_ms = / { $0 = "max_retry_after_ms = 3000" }
  { print }' "$from/goleuo-cymru.toml" > "$out/effects-swapped.toml"

# A third class between the two, short and urgent, that may be repeated under its key; dearer crossings between zones.
awk '
  function third() {
    print "[[class]]\nname = \"alarm\"\nshare = [0.1, 0.2]\naim_ms = 700\ndeadline_ms = 3500\nworth = 4\nlate_worth = 0.1\neffect = \"keyed\"\nstream = true\n"
  }
  function thirdWork() {
    print "[[fam.class]]\nnew_tokens = [90, 260]\nout_tokens = [30, 70]\nturns = [1, 1.6]\nthink_s = [2, 5]\nprefixes = [2, 4]\nprefix_tokens = [900, 1600]\nprefix_share = [0.8, 1]\nmax_out = 150\ntoken_ms = 50\naim_ms_per_k = 30\n"
  }
  /^\[\[class\]\]/ && ++class == 2 { third() }
  /^\[\[fam.class\]\]/ && ++work == 2 { thirdWork() }
  /^name = "goleuo-cymru"/ { $0 = "name = \"third-class\"" }
  /^name = "lookup"/ { $0 = "name = \"browse\"" }
  /^name = "repair-order"/ { $0 = "name = \"dispatch\"" }
  /^cross_zone = / { $0 = "cross_zone = 0.05" }
  /^max_attempts = / { $0 = "max_attempts = 4" }
  /^drain_grace_ms = / { $0 = "drain_grace_ms = 600" }
  { print }' "$from/goleuo-cymru.toml" > "$out/third-class.toml"
