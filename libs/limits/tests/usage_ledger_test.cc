#include "limits/usage_ledger.h"

#include <doctest/doctest.h>

namespace firmoor {

TEST_CASE("usage is counted by window") {
  UsageLedger ledger(5'000);
  ledger.Count("w", 14'999);
  ledger.Count("w", 15'000);
  ledger.Count("v", 15'001);
  CHECK(ledger.windows() ==
        UsageByWindow{{2, {{"w", 1}}}, {3, {{"v", 1}, {"w", 1}}}});
  ledger.DropBefore(3);
  CHECK(ledger.windows().size() == 1);
}

TEST_CASE("usage is summed over all daemons") {
  UsageTotals totals;
  totals.OnReport("a/1", {{3, {{"w", 2}}}});
  totals.OnReport("b/1", {{3, {{"w", 5}, {"v", 1}}}});

  SUBCASE("counting a repeated report once") {
    totals.OnReport("a/1", {{3, {{"w", 4}}}});
    CHECK(totals.Sum(3) == UsageCounts{{"v", 1}, {"w", 9}});
  }
  SUBCASE("including the counts of earlier instances of a daemon") {
    totals.OnReport("a/2", {{3, {{"w", 1}}}});
    CHECK(totals.Sum(3) == UsageCounts{{"v", 1}, {"w", 8}});
  }
  SUBCASE("and dropped after its window was reported") {
    totals.DropBefore(4);
    CHECK(totals.Sum(3).empty());
  }
}

}  // namespace firmoor
