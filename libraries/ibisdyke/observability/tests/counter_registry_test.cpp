#include "ibisdyke/observability/counter_registry.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;

TEST_CASE("counters, gauges and histograms are shown in the text exposition format")
{
    observability::counter_registry counters;
    counters.add("packets", 3);
    double age = 5;
    counters.add_gauge("age_ms", [&age] { return age; });
    for (const auto it : {0.2, 4.0, 700.0, 9000.0})
        counters.sample("sync_ms", it);
    const auto text = counters.to_text();
    CHECK(text.find("# TYPE ibisdyke_packets counter\nibisdyke_packets 3\n") != std::string::npos);
    CHECK(text.find("# TYPE ibisdyke_age_ms gauge\nibisdyke_age_ms 5\n") != std::string::npos);
    CHECK(text.find("ibisdyke_sync_ms_count 4\n") != std::string::npos);
    CHECK(text.find("ibisdyke_sync_ms_bucket{le=\"0.5\"} 1\n") != std::string::npos);
    CHECK(text.find("ibisdyke_sync_ms_bucket{le=\"5\"} 2\n") != std::string::npos);
    CHECK(text.find("ibisdyke_sync_ms_bucket{le=\"1000\"} 3\n") != std::string::npos);
    CHECK(text.find("ibisdyke_sync_ms_bucket{le=\"+Inf\"} 4\n") != std::string::npos);
    age = 6;
    CHECK(counters.to_text().find("ibisdyke_age_ms 6\n") != std::string::npos);
}
