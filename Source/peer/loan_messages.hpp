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

/// What the holders of shares and the task that talks to peers tell each
/// other, and its form between processes.

/// From the holder of a share: ask a peer for a part of its share.
struct loan_wanted
{
    share_kind m_kind = share_kind::rate;
    std::string m_resource;
    std::string m_lender;
    loan_ask m_ask;
};

/// To the holder of a share: what that peer gave; nothing if no answer came.
struct loan_arrived
{
    share_kind m_kind = share_kind::rate;
    std::string m_resource;
    std::string m_lender;
    rate_loan m_loan;
    time_point m_asked_at{};
};

/// To the holder of a share: a peer asks for a part of this daemon's share.
struct loan_asked
{
    exchange_id m_exchange;
    share_kind m_kind = share_kind::rate;
    std::string m_resource;
    loan_ask m_ask;
};

/// From the holder of a share: what that peer gets.
struct loan_given
{
    exchange_id m_exchange;
    rate_loan m_loan;
};

/// What the node called `self` asks of a peer.
peer_message to_message(std::string_view self, const loan_wanted& wanted);
loan_ask from_message(const peer_loan_ask& m);
peer_message to_message(const rate_loan& given);
rate_loan from_message(const peer_loan& m);

}

#endif
