#pragma once

#include "ibisdyke/requests/messages.h"
#include "ibisdyke/routing/chain.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ibisdyke::requests {

/// Which candidate of a key's chain may receive a request. Every candidate asks the others before it runs a key, so the
/// key runs at most once with either choice.
enum class placement : std::uint8_t {
    /// The owner, which is the first candidate, and then the others in order. A resend then finds the record at the
    /// owner without a lookup.
    owner_first,
    /// Any candidate. A new key rarely has a record yet that the owner could hold.
    any_candidate,
};

/// The input of a selector's choice.
struct selection {
    const routing::chain& members;
    /// Members to which earlier attempts of the same request were sent.
    const std::vector<core::upstream_id>& tried;
    placement allowed = placement::owner_first;
};

/// How long after its first send a key counts as new. A resend within this time may reach another candidate than the
/// first send did, which costs two lookups.
constexpr core::milliseconds new_key_age{500};

/// Returns which candidates may receive a request with an idempotency key.
placement choose_placement(send_order order, std::optional<core::wall_time> first_sent, core::wall_time now);

/// Chooses the upstream of the next attempt of a request. Not thread-safe.
class attempt_selector {
public:
    virtual ~attempt_selector() = default;

    /// Returns an index into the chain's members, or nothing when no candidate is left to try.
    virtual std::optional<std::size_t> select(const selection& from) = 0;

    /// Chooses a chain for a request without a caller's key: the balancer generates several keys, and `options` holds
    /// the chain of each. Returns an index into `options`, which is not empty and contains no null pointer.
    virtual std::size_t choose_chain(const std::vector<const routing::chain*>& options) const = 0;

    /// Called when an attempt was sent to an upstream.
    virtual void on_started(const core::upstream_id& id) = 0;

    /// Called when an attempt at an upstream has ended.
    virtual void on_ended(const core::upstream_id& id) = 0;

    /// Called when an upstream has reported its load, as the number of its running requests.
    virtual void on_load_report(const core::upstream_id& id, std::uint32_t load) = 0;
};

/// The selector that balancers use. Tries the chain's candidates in order, so that all attempts of a key begin at its
/// owner. A new key goes to the candidate with the fewest open attempts of this balancer. Among several chains, prefers
/// the one whose owner has the fewest open attempts.
class chain_order_selector final : public attempt_selector {
public:
    std::optional<std::size_t> select(const selection& from) override;
    std::size_t choose_chain(const std::vector<const routing::chain*>& options) const override;
    void on_started(const core::upstream_id& id) override;
    void on_ended(const core::upstream_id& id) override;
    void on_load_report(const core::upstream_id&, std::uint32_t) override { }

private:
    std::uint32_t count_open(const core::upstream_id& id) const;
    std::uint32_t count_open_at_owner(const routing::chain& chain) const;

    /// Open attempts of this balancer by upstream; upstreams without open attempts have no entry.
    std::map<core::upstream_id, std::uint32_t> open_attempts_;
};

/// Baseline for measurements: chooses the candidates in rotation, whatever the key.
class round_robin_selector final : public attempt_selector {
public:
    std::optional<std::size_t> select(const selection& from) override;
    std::size_t choose_chain(const std::vector<const routing::chain*>&) const override { return 0; }
    void on_started(const core::upstream_id&) override { }
    void on_ended(const core::upstream_id&) override { }
    void on_load_report(const core::upstream_id&, std::uint32_t) override { }

private:
    std::size_t next_ = 0;
};

/// Baseline for measurements: chooses the candidate that reported the least load. Reports lag behind the load, so many
/// requests go to the same upstream between two reports.
class least_reported_load_selector final : public attempt_selector {
public:
    std::optional<std::size_t> select(const selection& from) override;
    std::size_t choose_chain(const std::vector<const routing::chain*>&) const override { return 0; }
    void on_started(const core::upstream_id&) override { }
    void on_ended(const core::upstream_id&) override { }
    void on_load_report(const core::upstream_id& id, std::uint32_t load) override;

private:
    std::map<core::upstream_id, std::uint32_t> loads_;
};

} // namespace ibisdyke::requests
