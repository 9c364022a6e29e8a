// Measures the request path and prints one line of JSON. Queue policies, shares and selectors are simulated with the
// product's decision code in virtual time. The latency of small requests during the transfer of large answers is
// measured on loopback, with caller, balancer, agent and upstream on a thread each.
//
// Usage: requests_benchmark [goodput|share|selectors|latency|at_most_once]...   (all without arguments)

#include "parts.h"

#include <QJsonDocument>

#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <string>

using namespace ibisdyke::benchmarks;

int main(int argc, char** argv)
{
    const std::map<std::string, std::function<QJsonObject()>> parts{{"goodput", measure_goodputs},
        {"share", measure_shares}, {"selectors", measure_selectors}, {"latency", measure_latency},
        {"at_most_once", measure_at_most_once}};
    std::set<std::string> wanted;
    for (int i = 1; i < argc; ++i)
        wanted.insert(argv[i]);
    QJsonObject result;
    for (const auto& [name, measure] : parts) {
        if (wanted.empty() || wanted.contains(name))
            result.insert(QString::fromStdString(name), measure());
    }
    std::cout << QJsonDocument(result).toJson(QJsonDocument::Compact).toStdString() << '\n';
    return 0;
}
