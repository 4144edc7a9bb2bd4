#ifndef BLUEBELLSPOKE_PEER_LOAN_MESSAGES_HPP
#define BLUEBELLSPOKE_PEER_LOAN_MESSAGES_HPP

#include <string>
#include <string_view>

#include <decide/rate_share.hpp>
#include <model/clock.hpp>
#include <model/share_kind.hpp>
#include <peer/peer_message.hpp>
#include <wire/http2_server.hpp>

namespace bluebellspoke
{

/// Messages between the share holders and the peer task within a process, and
/// their conversion to and from peer messages.

/// From a share holder: request a loan from a peer's share.
struct outgoing_loan_request
{
    share_kind m_kind = share_kind::rate;
    std::string m_resource;
    std::string m_lender;
    loan_request m_request;
};

/// To a share holder: the loan that the peer granted; no units if no answer
/// arrived.
struct incoming_loan
{
    share_kind m_kind = share_kind::rate;
    std::string m_resource;
    std::string m_lender;
    rate_loan m_loan;
    time_point m_requested_at{};
};

/// To a share holder: a peer requests a loan from this daemon's share.
struct incoming_loan_request
{
    exchange_id m_exchange;
    share_kind m_kind = share_kind::rate;
    std::string m_resource;
    loan_request m_request;
};

/// From a share holder: the loan granted to the peer.
struct outgoing_loan
{
    exchange_id m_exchange;
    rate_loan m_loan;
};

/// Makes the request that the node named `self` sends to a peer.
peer_message to_message(std::string_view self,
                        const outgoing_loan_request& request);
loan_request from_message(const peer_loan_request& m);
peer_message to_message(const rate_loan& granted);
rate_loan from_message(const peer_loan& m);

}

#endif
