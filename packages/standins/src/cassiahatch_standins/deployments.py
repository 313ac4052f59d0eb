"""Sites of the first two users, scaled down to fit one machine."""

from __future__ import annotations

from typing import Any

from cassiahatch_kernel.plans import Plan, PlanLists
from cassiahatch_standins.backend import DownstreamCall, RouteConfig
from cassiahatch_standins.site import ServiceSpec, SiteSpec, make_customer

GET_TRUCKS = DownstreamCall("fleet-tracking", "GET", "/trucks")
GET_SPRAY_PLANS = DownstreamCall("spray-dispatch", "GET", "/plans")
GET_HOLDOVER = DownstreamCall("documents", "GET", "/holdover")
GET_STOCK = DownstreamCall("measurements", "GET", "/stock")


def make_hielo_sur(
    vms_per_service: int = 4, settings: dict[str, dict[str, Any]] | None = None
) -> SiteSpec:
    """Return the site of Hielo Sur Despacho, which dispatches aircraft de-icing.

    Its services are the de-icing queues, the dispatch, the documents and the fleet.
    """
    queue = ServiceSpec(
        "queue-status",
        slots=40,
        vm_count=vms_per_service,
        connections=275,
        routes=(
            RouteConfig("GET", "/queues", 5, "normal", calls=(GET_TRUCKS,)),
            RouteConfig(
                "GET",
                "/overview",
                5,
                "important",
                calls=(GET_SPRAY_PLANS, GET_HOLDOVER),
            ),
        ),
    )
    dispatch = ServiceSpec(
        "spray-dispatch",
        slots=40,
        vm_count=vms_per_service,
        connections=275,
        routes=(
            RouteConfig("GET", "/plans", 5, "normal", calls=(GET_TRUCKS,)),
            RouteConfig("POST", "/orders", 8, "critical", False, calls=(GET_TRUCKS,)),
        ),
    )
    documents = ServiceSpec(
        "documents",
        slots=40,
        vm_count=vms_per_service,
        connections=275,
        routes=(RouteConfig("GET", "/holdover", 5, "normal"),),
    )
    fleet = ServiceSpec(
        "fleet-tracking",
        slots=4,
        vm_count=vms_per_service,
        connections=50,
        routes=(RouteConfig("GET", "/trucks", 50, "normal"),),
    )
    lists = PlanLists(
        customers={
            "tower": make_customer("tower", "tower"),
            "carrasco-air": make_customer("carrasco-air", "airline"),
            "handler-norte": make_customer("handler-norte", "handler"),
        },
        plans={
            "tower": Plan(rate=400, burst=800, importance=10),
            "airline": Plan(rate=400, burst=800, importance=5),
            "handler": Plan(rate=400, burst=800, importance=1),
        },
    )
    services = (queue, dispatch, documents, fleet)
    return SiteSpec(services, lists, settings=settings or {})


def make_bridal_agency(
    vms_per_service: int = 4, settings: dict[str, dict[str, Any]] | None = None
) -> SiteSpec:
    """Return the site of the State Bridal Service Agency.

    Its services are the catalogue, the booking, the patterns and the measurements.
    """
    catalogue = ServiceSpec(
        "catalogue",
        slots=32,
        vm_count=vms_per_service,
        connections=225,
        routes=(RouteConfig("GET", "/dresses", 5, "normal", calls=(GET_STOCK,)),),
    )
    booking = ServiceSpec(
        "booking",
        slots=32,
        vm_count=vms_per_service,
        connections=225,
        routes=(
            RouteConfig("GET", "/slots", 5, "important", calls=(GET_STOCK,)),
            RouteConfig("POST", "/reservations", 8, "critical", False, (GET_STOCK,)),
        ),
    )
    patterns = ServiceSpec(
        "patterns",
        slots=32,
        vm_count=vms_per_service,
        connections=225,
        routes=(RouteConfig("GET", "/sheets", 5, "important"),),
    )
    measurements = ServiceSpec(
        "measurements",
        slots=8,
        vm_count=vms_per_service,
        connections=75,
        routes=(RouteConfig("GET", "/stock", 50, "normal"),),
    )
    lists = PlanLists(
        customers={
            "registry": make_customer("registry", "registry"),
            "seamstress": make_customer("seamstress", "trade"),
            "bride": make_customer("bride", "public"),
        },
        plans={
            "registry": Plan(rate=400, burst=800, importance=10),
            "trade": Plan(rate=400, burst=800, importance=5),
            "public": Plan(rate=400, burst=800, importance=1),
        },
    )
    services = (catalogue, booking, patterns, measurements)
    return SiteSpec(services, lists, settings=settings or {})
